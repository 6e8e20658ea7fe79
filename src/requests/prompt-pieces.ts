import { createHash } from 'node:crypto'

/** Returns the chained hashes of a prompt's complete pieces: equal hashes mean equal prefixes up to the end of that piece. */
export function promptPieces (prompt: string, pieceBytes: number): string[] {
  const bytes = Buffer.from(prompt)
  const pieces: string[] = []
  let previous = ''
  for (let end = pieceBytes; end <= bytes.length; end += pieceBytes) {
    const hash = createHash('sha256').update(previous).update(bytes.subarray(end - pieceBytes, end))
    previous = hash.digest('hex').slice(0, PIECE_HASH_HEX_DIGITS)
    pieces.push(previous)
  }
  return pieces
}

/** Length of a piece's hash in hexadecimal digits, which is 64 bits. */
const PIECE_HASH_HEX_DIGITS = 16
