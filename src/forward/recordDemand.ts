import { estimateWorkMs } from "../core/chooseUpstream";
import { artifactKey } from "../types/modelRequest";
import type { Call } from "./call";
import type { Gateway } from "./gateway";

/** Counts a request for the retry budget of its service, and its work for the placement of its model or adapter. */
export const recordDemand = (gateway: Gateway, { service, caller: { modelRequest } }: Call): void => {
    gateway.budgetOf(service).countRequest();
    if (modelRequest) {
        gateway.placement.countWork(artifactKey(modelRequest.model, modelRequest.adapter), estimateWorkMs(modelRequest));
    }
};
