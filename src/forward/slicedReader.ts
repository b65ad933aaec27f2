import type { Socket } from "node:net";
import { parsePacer } from "./parsePacer";
import type { RuntimeParser } from "./runtimeParser";
import { ParserCallback } from "./runtimeParser";
import type { RuntimeSocket } from "./runtimeSocket";
import { setReading } from "./runtimeSocket";

/** Bounds of what is parsed at once, and when they change. */
const minSliceBytes = 1_024;
const maxSliceBytes = 65_536;
const longSliceMs = 0.5;
const shortSliceMs = 0.1;
/** Connections of which part of a read may wait, at up to 64 KB each. Reads of others are parsed whole. */
const maxHeld = 256;
const held = new Map<Socket, Buffer>();

/** Bytes of a connection that have been read and not been parsed. */
export const unparsedBytesOf = (socket: Socket): number => held.get(socket)?.length ?? 0;

/**
 * Parses what one connection of a server receives in slices, which the pacer spreads over turns of the event loop. The runtime's parser reads up to 64 KB itself, and
 * cannot be interrupted meanwhile.
 */
export class SlicedReader {
    /** What has been read and not been parsed. */
    private rest: Buffer | undefined;
    private sliceBytes = minSliceBytes;
    private isValid = true;

    private constructor(private readonly socket: RuntimeSocket, private readonly parser: RuntimeParser, private readonly onParsed: (bytes: number) => void) {}

    /** Takes over the reading of a connection from its parser. `onParsed` is called after slices that were parsed one after the other. */
    static open(socket: RuntimeSocket, parser: RuntimeParser, onParsed: (bytes: number) => void): void {
        const reader = new SlicedReader(socket, parser, onParsed);
        parsePacer.onResume(socket, () => reader.readOn());
        socket.removeAllListeners("data");
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
        let parsedBytes = 0;
        while (this.rest && this.canParse()) {
            const { rest } = this;
            const slice = held.size > maxHeld ? rest : rest.subarray(0, this.sliceBytes);
            this.keep(slice.length < rest.length ? rest.subarray(slice.length) : undefined);
            const startedAt = performance.now();
            this.parse(slice);
            parsedBytes += slice.length;
            const tookMs = performance.now() - startedAt;
            if (tookMs > longSliceMs) {
                this.sliceBytes = Math.max(minSliceBytes, this.sliceBytes / 2);
            }
            else if (tookMs < shortSliceMs) {
                this.sliceBytes = Math.min(maxSliceBytes, this.sliceBytes * 2);
            }
            parsePacer.count(socket, tookMs);
        }
        if (parsedBytes > 0) {
            this.onParsed(parsedBytes);
        }
        if (!this.isValid) {
            this.keep(undefined);
        }
        setReading(socket, this.isValid && !this.rest && !socket.isPaused());
    }

    /** Parses a slice, and then does what the runtime does after each read of its parser. */
    private parse(slice: Buffer): void {
        const { parser, socket } = this;
        const result = parser.execute?.(slice);
        this.isValid = !(result instanceof Error);
        const end = (): unknown => parser[ParserCallback.Execute]?.(result);
        if (this.isValid) {
            end();
        }
        else {
            // An error closes the connection, so requests that were parsed before it are handled first.
            setImmediate(() => socket.destroyed || end());
        }
    }

    private canParse(): boolean {
        const { socket } = this;
        return this.isValid && !socket.destroyed && !socket._paused && !parsePacer.isWaiting(socket);
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
