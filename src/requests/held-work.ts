import { type Board, StageCall } from '../board/board.js'
import { type ModelRequest, prefillWorkId, RequestStage, workId } from '../board/model-request.js'

/** Work of a request that an engine may hold. */
export interface HeldWork {
  work: string
  server: string
  /** The call that starts the work, or null if that call has returned. */
  awaited: StageCall | null
}

/** Lists the work that engines may hold for the current attempt of a request, including a prefill result from an earlier attempt. */
export function heldWork (request: ModelRequest): HeldWork[] {
  const { stage, handle, prefillServer, decodeServer } = request
  const held: HeldWork[] = []
  const prefilling = stage === RequestStage.Prefilling
  if (prefillServer !== null && (prefilling || handle !== null)) {
    held.push({ work: prefillWorkId(request), server: prefillServer, awaited: prefilling ? StageCall.Prefill : null })
  }
  const transferring = stage === RequestStage.Transferring
  if (decodeServer !== null && (transferring || stage === RequestStage.Decoding)) {
    held.push({ work: workId(request), server: decodeServer, awaited: transferring ? StageCall.Transfer : null })
  }
  return held
}

/** Whether a request of this instance still needs this work on this server. */
export function isWorkNeeded (board: Board, work: string, server: string): boolean {
  const request = board.requests.get(work.slice(0, work.lastIndexOf('.')))
  if (request === undefined) return false
  return heldWork(request).some((held) => held.work === work && held.server === server)
}

/** Whether an engine may have worked on the request, in this attempt or an earlier one. */
export function mayHaveRun (request: ModelRequest): boolean {
  return request.ran || heldWork(request).length > 0
}
