/** Kinds of refusal a caller can get. `refusalDescriptions` gives the class of each. */
export enum RefusalKind {
  Overloaded = 'overloaded',
  OrganisationLimit = 'organisation_limit',
  DeadlineUnreachable = 'deadline_unreachable',
  NoServer = 'no_server',
  Draining = 'draining',
  NotReady = 'not_ready',
  KeyStoreUnavailable = 'key_store_unavailable',
  KeyReused = 'key_reused',
  KeyMalformed = 'key_malformed',
  KeyMissing = 'key_missing',
  KeyExpired = 'key_expired',
  Superseded = 'superseded',
  OutcomeUnknown = 'outcome_unknown',
  StreamLost = 'stream_lost',
  DeadlinePassed = 'deadline_passed',
  ServerFailed = 'server_failed',
  MalformedRequest = 'malformed_request',
  MalformedBody = 'malformed_body',
  BodyTooLarge = 'body_too_large',
  Unauthorised = 'unauthorised',
  UnknownModel = 'unknown_model',
  UnknownRoute = 'unknown_route',
  PromptTooLong = 'prompt_too_long'
}

/** What a refusal says about whether the request has run. */
export enum RefusalClass {
  /** Nothing of the request took effect; sending it again is safe. */
  NotRun = 'not_run',
  /** The request may have run; query the outcome before sending it again. */
  OutcomeUnknown = 'outcome_unknown',
  /** The request ran at least in part and was not completed: the backend server reported a failure, its answer was lost or the deadline passed. */
  RanAndFailed = 'ran_and_failed'
}

export interface RefusalDescription {
  status: number
  class: RefusalClass
  remedy: string
}

/** Status, class and remedy of each refusal kind. */
export const refusalDescriptions: Record<RefusalKind, RefusalDescription> = {
  [RefusalKind.Overloaded]: { status: 503, class: RefusalClass.NotRun, remedy: 'Send the request again after the time in Retry-After.' },
  [RefusalKind.OrganisationLimit]: { status: 429, class: RefusalClass.NotRun, remedy: 'Send fewer requests at once, or ask the operator to raise the limit of the organisation.' },
  [RefusalKind.DeadlineUnreachable]: { status: 503, class: RefusalClass.NotRun, remedy: 'Send the request again later, or use a class with a longer deadline.' },
  [RefusalKind.NoServer]: { status: 503, class: RefusalClass.NotRun, remedy: 'Send the request again after the time in Retry-After; no backend server can take it now.' },
  [RefusalKind.Draining]: { status: 503, class: RefusalClass.NotRun, remedy: 'Ask for addresses again and send the request to another instance.' },
  [RefusalKind.NotReady]: { status: 503, class: RefusalClass.NotRun, remedy: 'Send the request to another address; this instance has no configuration bundle yet.' },
  [RefusalKind.KeyStoreUnavailable]: { status: 503, class: RefusalClass.NotRun, remedy: 'Send the request again later with the same key; for a new request, use a key that came with the addresses.' },
  [RefusalKind.KeyReused]: { status: 422, class: RefusalClass.NotRun, remedy: 'Use a new Idempotency-Key: this one belongs to a request with another body.' },
  [RefusalKind.KeyMalformed]: { status: 400, class: RefusalClass.NotRun, remedy: 'Send an Idempotency-Key of 1 to 128 printable characters, or one that came with the addresses.' },
  [RefusalKind.KeyMissing]: { status: 400, class: RefusalClass.NotRun, remedy: 'Send an Idempotency-Key header: calls on this route may not be repeated.' },
  [RefusalKind.KeyExpired]: { status: 409, class: RefusalClass.OutcomeUnknown, remedy: 'Check with the service whether the request ran, then use a new key.' },
  [RefusalKind.Superseded]: { status: 409, class: RefusalClass.OutcomeUnknown, remedy: 'Wait for the answer on the newest connection that sent this key.' },
  [RefusalKind.OutcomeUnknown]: { status: 502, class: RefusalClass.OutcomeUnknown, remedy: 'Ask for the outcome of the key, or check with the service, before you use a new key.' },
  [RefusalKind.StreamLost]: { status: 502, class: RefusalClass.RanAndFailed, remedy: 'Send the request again; the answer could not be completed.' },
  [RefusalKind.DeadlinePassed]: { status: 504, class: RefusalClass.RanAndFailed, remedy: 'Send the request again, or use a class with a longer deadline; the work that had begun is cancelled.' },
  [RefusalKind.ServerFailed]: { status: 502, class: RefusalClass.RanAndFailed, remedy: 'See the status and body of the backend server, then correct the request.' },
  [RefusalKind.MalformedRequest]: { status: 400, class: RefusalClass.NotRun, remedy: 'Send a well-formed HTTP/1.1 request with printable header values.' },
  [RefusalKind.MalformedBody]: { status: 400, class: RefusalClass.NotRun, remedy: 'Send a JSON object with the documented fields.' },
  [RefusalKind.BodyTooLarge]: { status: 413, class: RefusalClass.NotRun, remedy: 'Send a body below the size limit.' },
  [RefusalKind.Unauthorised]: { status: 401, class: RefusalClass.NotRun, remedy: 'Send the key of an organisation as "Authorization: Bearer KEY".' },
  [RefusalKind.UnknownModel]: { status: 404, class: RefusalClass.NotRun, remedy: 'Use a model named in the configuration bundle.' },
  [RefusalKind.UnknownRoute]: { status: 404, class: RefusalClass.NotRun, remedy: 'Use a path and method of a route named in the configuration bundle.' },
  [RefusalKind.PromptTooLong]: { status: 413, class: RefusalClass.NotRun, remedy: 'Shorten the prompt to the limit of the model.' }
}
