import { connect } from "node:net";
import { errorCodeOf, refusedConnectionCode } from "../utils/transport";

/** What a connection attempt tells of the process at an address. */
export enum UpstreamLife {
    Alive = "alive",
    Ended = "ended",
    /** Nothing answered in time. */
    Unknown = "unknown",
}

/** Opens and closes a connection: the host of a process that has ended refuses it. */
export const probeAddress = (address: string, timeoutMs: number, signal?: AbortSignal): Promise<UpstreamLife> =>
    new Promise(resolve => {
        const colon = address.lastIndexOf(":");
        const socket = connect({ host: address.slice(0, colon), port: Number(address.slice(colon + 1)), timeout: timeoutMs, signal });
        const finish = (life: UpstreamLife): void => {
            socket.destroy();
            resolve(life);
        };
        socket.once("connect", () => finish(UpstreamLife.Alive));
        socket.once("timeout", () => finish(UpstreamLife.Unknown));
        socket.on("error", err => finish(errorCodeOf(err) === refusedConnectionCode ? UpstreamLife.Ended : UpstreamLife.Unknown));
    });
