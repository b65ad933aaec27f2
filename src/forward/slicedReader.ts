import type { Socket } from "node:net";
import { parsePacer } from "./parsePacer";
import type { RuntimeSocket } from "./runtimeSocket";
import { setReading } from "./runtimeSocket";

/** Bounds of what is parsed at once, and when they change. */
const minSliceBytes = 1_024;
const firstSliceBytes = 4_096;
const maxSliceBytes = 65_536;
const longSliceMs = 0.5;
const shortSliceMs = 0.1;
/** Connections of which part of a read may wait, at up to 64 KB each. Reads of others are parsed whole. */
const maxHeld = 256;
const held = new Map<Socket, Buffer>();

/** Bytes of a connection that have been read and not been parsed. */
export const unparsedBytesOf = (socket: Socket): number => held.get(socket)?.length ?? 0;

type Parse = (bytes: Buffer, isWhole: boolean) => void;

/**
 * Parses what one connection of a server receives in slices, which the pacer spreads over turns of the event loop. The runtime's parser would read up to 64 KB itself,
 * and cannot be interrupted meanwhile.
 */
export class SlicedReader {
    /** What has been read and not been parsed. */
    private rest: Buffer | undefined;
    private sliceBytes = firstSliceBytes;

    private constructor(private readonly socket: RuntimeSocket, private readonly parse: Parse) {}

    /** Takes over the reading of a connection that a server has just accepted. `parse` gets each slice, and whether it is the last of a read. */
    static open(socket: RuntimeSocket, parse: Parse): void {
        const reader = new SlicedReader(socket, parse);
        parsePacer.open(socket, () => reader.readOn());
        // The parser no longer reads the connection itself once there is a listener. Reading starts and stops as the runtime does it for a parser that does.
        socket.on("data", bytes => reader.add(bytes));
        socket.on("pause", () => setReading(socket, false));
        socket.on("resume", () => reader.onResume());
        socket._read = () => undefined;
        socket.once("close", () => reader.keep(undefined));
    }

    private add(bytes: Buffer): void {
        this.keep(this.rest ? Buffer.concat([this.rest, bytes]) : bytes);
        this.readOn();
    }

    private onResume(): void {
        if (this.socket._paused) {
            this.socket.pause();
        }
        else {
            this.readOn();
        }
    }

    /** Parses on, until nothing is left or the connection has to wait. */
    private readOn(): void {
        const { socket } = this;
        while (this.rest && this.canParse()) {
            const { rest } = this;
            const slice = held.size > maxHeld ? rest : rest.subarray(0, this.sliceBytes);
            this.keep(slice.length < rest.length ? rest.subarray(slice.length) : undefined);
            const startedAt = performance.now();
            this.parse(slice, this.rest === undefined);
            const tookMs = performance.now() - startedAt;
            if (tookMs > longSliceMs) {
                this.sliceBytes = Math.max(minSliceBytes, this.sliceBytes / 2);
            }
            else if (tookMs < shortSliceMs) {
                this.sliceBytes = Math.min(maxSliceBytes, this.sliceBytes * 2);
            }
            parsePacer.count(socket, tookMs);
        }
        setReading(socket, !this.rest && !socket.isPaused());
    }

    private canParse(): boolean {
        const { socket } = this;
        return !socket.destroyed && !socket._paused && !parsePacer.isWaiting(socket);
    }

    private keep(rest: Buffer | undefined): void {
        this.rest = rest;
        if (rest) {
            held.set(this.socket, rest);
        }
        else {
            held.delete(this.socket);
        }
    }
}
