import type { ServerResponse } from "node:http";
import { TurnPacer } from "../utils/turnPacer";

/** Time and bytes for which the rest of a body is read and discarded. */
const maxDiscardMs = 2_000;
/** Time before the exit of the process that the end of the connection takes. */
const closeMs = 300;
const maxDiscardBytes = 8_388_608;
const pacer = TurnPacer.create();

/**
 * Ends an answer that has been written. Closing a connection with unread bytes resets it, and its caller may lose the answer: the rest of the body is discarded
 * first, within bounds and before the process exits.
 */
export const endUnread = (res: ServerResponse, exitInMs: number): void => {
    const { req } = res;
    if (req.complete || req.destroyed) {
        res.end();
        return;
    }
    let discardedBytes = 0;
    const finish = (): void => {
        clearTimeout(timer);
        res.end();
    };
    const timer = setTimeout(finish, Math.max(0, Math.min(maxDiscardMs, exitInMs - closeMs)));
    req.on("data", (chunk: Buffer) => {
        discardedBytes += chunk.length;
        if (discardedBytes > maxDiscardBytes) {
            req.pause();
            finish();
        }
        else if (!pacer.count(chunk.length, () => req.resume())) {
            req.pause();
        }
    });
    req.once("end", finish);
    req.once("close", finish);
    req.resume();
};
