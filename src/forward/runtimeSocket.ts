import type { Socket } from "node:net";
import type { RuntimeParser } from "./runtimeParser";

/** Parts of the runtime's socket of a server's connection that are not documented. */
export type RuntimeSocket = Socket & {
    readonly parser?: RuntimeParser;
    /** What reads from the kernel; gone once the connection is closed. */
    readonly _handle?: { reading: boolean; readStart(): unknown; readStop(): unknown; } | undefined;
    /** Whether the HTTP server does not read on until answers have been written out. */
    readonly _paused?: boolean;
};

/** Starts or stops reading a connection from the kernel. */
export const setReading = ({ _handle: handle }: RuntimeSocket, isReading: boolean): void => {
    if (handle && handle.reading !== isReading) {
        handle.reading = isReading;
        if (isReading) {
            handle.readStart();
        }
        else {
            handle.readStop();
        }
    }
};
