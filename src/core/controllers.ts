import { reservationController } from '../reservations/reservation-controller.js'
import { orphanController } from '../reservations/orphan-controller.js'
import { admissionController } from '../admission/admission-controller.js'
import { bundleController } from '../bundles/bundle-controller.js'
import { callController, keyController } from '../calls/call-controller.js'
import { outcomeController } from '../calls/outcome-controller.js'
import { drainController } from '../drain/drain-controller.js'
import { leavingServerController } from '../drain/leaving-server-controller.js'
import { memberController } from '../members/member-controller.js'
import { orderController } from '../orders/order-controller.js'
import { loadCorrectionController } from '../placement/load-corrections.js'
import { prefixController } from '../placement/prefix-controller.js'
import { serverController } from '../placement/server-controller.js'
import { cancellationController } from '../requests/cancellation.js'
import { requestController } from '../requests/request-controller.js'
import type { Controller } from './controller.js'

/** The controllers of an entry instance, in the order in which they handle an event. */
export const controllers: Controller[] = [
  bundleController,
  serverController,
  prefixController,
  loadCorrectionController,
  leavingServerController,
  memberController,
  requestController,
  admissionController,
  reservationController,
  orphanController,
  cancellationController,
  callController,
  orderController,
  keyController,
  outcomeController,
  drainController
]
