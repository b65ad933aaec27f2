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
const held = new Set<SlicedReader>();

/** What is done with the bytes of a connection. */
interface Parsing {
    /** Parses a slice; `isWhole` says whether it is the last one of a read. Returns false if nothing more can be parsed. */
    readonly parse: (bytes: Buffer, isWhole: boolean) => boolean;
    /** Slices have been parsed one after the other, and nothing else meanwhile. */
    readonly onParsed: (bytes: number) => void;
}

/**
 * Parses what one connection of a server receives in slices, which the pacer spreads over turns of the event loop. The runtime's parser would read up to 64 KB itself,
 * and cannot be interrupted meanwhile.
 */
export class SlicedReader {
    /** What has been read and not been parsed. */
    private rest: Buffer | undefined;
    private sliceBytes = firstSliceBytes;
    private isValid = true;

    private constructor(private readonly socket: RuntimeSocket, private readonly parsing: Parsing) {}

    /** Takes over the reading of a connection that a server has just accepted. */
    static open(socket: RuntimeSocket, parsing: Parsing): void {
        const reader = new SlicedReader(socket, parsing);
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
        let parsedBytes = 0;
        while (this.rest && this.canParse()) {
            const { rest } = this;
            const slice = held.size > maxHeld ? rest : rest.subarray(0, this.sliceBytes);
            this.keep(slice.length < rest.length ? rest.subarray(slice.length) : undefined);
            const startedAt = performance.now();
            this.isValid = this.parsing.parse(slice, this.rest === undefined);
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
            this.parsing.onParsed(parsedBytes);
        }
        if (!this.isValid) {
            this.keep(undefined);
        }
        setReading(socket, this.isValid && !this.rest && !socket.isPaused());
    }

    private canParse(): boolean {
        const { socket } = this;
        return this.isValid && !socket.destroyed && !socket._paused && !parsePacer.isWaiting(socket);
    }

    private keep(rest: Buffer | undefined): void {
        this.rest = rest;
        if (rest) {
            held.add(this);
        }
        else {
            held.delete(this);
        }
    }
}
