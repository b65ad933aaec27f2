import { FailureKind } from "../types/failureKind";
import type { Gateway } from "./gateway";
import type { Refusal } from "./refusal";

/** Another node can take the request immediately. */
const retryAfterMs = 50;

/** Why a stopping node does not send a request (again). */
export const stoppingRefusal: Refusal = {
    kind: FailureKind.Stopping,
    detail: "the node is shutting down and would exit before the request is answered",
    retryAfterMs,
};

/** Waits for what a request needs before it is sent, at most until the process is about to exit. */
export const untilExit = async <T>(gateway: Gateway, wait: Promise<T>): Promise<T | Refusal> => {
    let stopListening: () => void = () => undefined;
    const exit = new Promise<Refusal>(resolve => stopListening = gateway.waitsEnd.listen(() => resolve(stoppingRefusal)));
    try {
        return await Promise.race([exit, wait]);
    }
    finally {
        stopListening();
    }
};
