import type { IncomingMessage } from "node:http";
import type { Socket } from "node:net";
import type { UnfinishedHeads } from "../core/unfinishedHeads";
import { ChunkJoiner } from "../utils/chunkJoiner";
import { parsePacer } from "./parsePacer";
import { headerBytes } from "./requestHead";
import type { RuntimeParser } from "./runtimeParser";
import { ownCallbacksOf, ParserCallback, wrapCallbacks } from "./runtimeParser";
import type { RuntimeSocket } from "./runtimeSocket";
import { SlicedReader } from "./slicedReader";

/** Bytes around a chunk of a body. */
const chunkFramingBytes = 8;
/** A connection of which one read gave so many chunks and took so long is parsed in slices from then on, and so are all others, and new ones for a time. */
const minSlicedChunks = 1_000;
const minSlicedMs = 4;

/** What is being read on a connection. */
interface Reading {
    isInHead: boolean;
    /** The request whose chunked body is being read: trailers may follow it. */
    chunked: IncomingMessage | undefined;
    /** Bytes of the head or the trailers, and of what was read with their beginning. */
    headBytes: number;
    /** Bytes of this read that are a head that has ended, or a body. */
    otherBytes: number;
    /** Chunks of a body in this read. */
    chunks: number;
    /** Bytes of the connection that have been parsed. */
    parsedBytes: number;
    /** When the parser announced the first message, headers or part of a body in this read. */
    startedAt: number | undefined;
}

/** Follows how much of each head, and of the trailers of each chunked body, has been read, with each read: the parser keeps it until its end. */
export class HeadWatch {
    private readonly readings = new Map<Socket, Reading>();
    private isPaused = false;

    private constructor(
        private readonly heads: UnfinishedHeads<Socket>,
        private readonly isBusy: (socket: Socket) => boolean,
        private readonly close: (socket: Socket) => void,
        private readonly onParsed: (socket: Socket, parsedBytes: number) => void,
    ) {}

    /**
     * Creates a watch; `isBusy` says whether a connection has unanswered requests, `close` closes one for whose head there is no room, `onParsed` is called with
     * the bytes that have been parsed of a connection, each time it was.
     */
    static create(
        heads: UnfinishedHeads<Socket>,
        isBusy: (socket: Socket) => boolean,
        close: (socket: Socket) => void,
        onParsed: (socket: Socket, parsedBytes: number) => void = () => undefined,
    ): HeadWatch {
        return new HeadWatch(heads, isBusy, close, onParsed);
    }

    /** Follows a connection that a server has just accepted. */
    open(socket: RuntimeSocket): void {
        const { parser } = socket;
        if (!parser) {
            return;
        }
        const reading: Reading = {
            isInHead: false,
            chunked: undefined,
            headBytes: 0,
            otherBytes: 0,
            chunks: 0,
            parsedBytes: socket.bytesRead,
            startedAt: undefined,
        };
        parsePacer.open(socket);
        this.readings.set(socket, reading);
        const { [ParserCallback.MessageBegin]: begin, [ParserCallback.Execute]: execute } = parser;
        const { [ParserCallback.Headers]: headers, [ParserCallback.Body]: body, [ParserCallback.MessageEnd]: end } = ownCallbacksOf(parser);
        const joiner = ChunkJoiner.create(bytes => body?.call(parser, bytes));
        const unwrap = wrapCallbacks(parser, {
            [ParserCallback.Headers]: (...args) => {
                reading.startedAt ??= performance.now();
                return headers?.apply(parser, args);
            },
            [ParserCallback.Body]: (...args) => {
                const chunk = args[0] as Buffer;
                reading.startedAt ??= performance.now();
                reading.otherBytes += chunk.length + chunkFramingBytes;
                reading.chunks++;
                joiner.add(chunk);
            },
            [ParserCallback.MessageEnd]: (...args) => {
                joiner.flush();
                return end?.apply(parser, args);
            },
        });
        socket.once("close", () => {
            this.readings.delete(socket);
            this.heads.release(socket);
            joiner.drop();
            unwrap();
        });
        parser[ParserCallback.MessageBegin] = (...args) => {
            reading.isInHead = true;
            reading.startedAt ??= performance.now();
            return begin?.(...args);
        };
        let isSliced = false;
        const slice = (): void => {
            if (!isSliced && !socket.destroyed) {
                isSliced = true;
                SlicedReader.open(socket, parser, bytes => onParsed(reading.parsedBytes + bytes));
            }
        };
        const onParsed = (parsedBytes: number): void => {
            const bytes = parsedBytes - reading.parsedBytes;
            reading.parsedBytes = parsedBytes;
            this.onRead(socket, parser, reading, bytes);
            this.onParsed(socket, parsedBytes);
        };
        parser[ParserCallback.Execute] = (...args) => {
            joiner.flush();
            const result = execute?.(...args);
            if (isSliced) {
                return result;
            }
            onParsed(socket.bytesRead);
            if (reading.startedAt !== undefined) {
                const tookMs = performance.now() - reading.startedAt;
                reading.startedAt = undefined;
                if (tookMs >= minSlicedMs && reading.chunks >= minSlicedChunks) {
                    parsePacer.warn();
                }
                parsePacer.count(socket, tookMs);
            }
            reading.chunks = 0;
            return result;
        };
        parsePacer.onWarning(socket, slice);
    }

    /** The head of a request has been read to its end. */
    end(req: IncomingMessage): void {
        const reading = this.readings.get(req.socket);
        if (!reading) {
            return;
        }
        reading.isInHead = false;
        if (req.headers["transfer-encoding"] !== undefined) {
            reading.chunked = req;
            reading.otherBytes = headerBytes(req) + (req.url?.length ?? 0);
        }
        this.forget(req.socket, reading);
    }

    private forget(socket: Socket, reading: Reading): void {
        reading.headBytes = 0;
        this.heads.release(socket);
    }

    private onRead(socket: Socket, parser: RuntimeParser, reading: Reading, bytes: number): void {
        const { otherBytes } = reading;
        reading.otherBytes = 0;
        if (reading.chunked?.complete) {
            reading.chunked = undefined;
            if (!reading.isInHead) {
                this.forget(socket, reading);
            }
        }
        if ((reading.isInHead || reading.chunked) && !socket.destroyed) {
            // Trailers begin anew after each part of the body.
            reading.headBytes = otherBytes > 0 ? Math.max(0, bytes - otherBytes) : reading.headBytes + bytes;
            this.heads.hold(socket, reading.headBytes, (parser._headers?.length ?? 0) / 2, this.isBusy).forEach(this.close);
            if (this.heads.isAwaitingCloses) {
                this.pauseReading();
            }
        }
    }

    /** Reads nothing more of heads in this turn of the event loop: connections that were given up are closed, and their memory released, only after all reads of a turn. */
    private pauseReading(): void {
        if (this.isPaused) {
            return;
        }
        this.isPaused = true;
        const paused = [...this.readings].filter(([socket, { isInHead, headBytes }]) =>
            !socket.destroyed && !socket.isPaused() && (isInHead || headBytes > 0 || !this.isBusy(socket))
        ).map(([socket]) => socket);
        paused.forEach(socket => socket.pause());
        const resume = (): void => {
            this.isPaused = false;
            paused.filter(({ destroyed }) => !destroyed).forEach(socket => socket.resume());
        };
        setImmediate(() => setImmediate(resume));
    }
}
