import type { Socket } from "node:net";
import type { UnfinishedHeads } from "../core/unfinishedHeads";

/** Callbacks of the runtime's parser, by their numbers. */
enum ParserCallback {
    MessageBegin = 0,
    Execute = 5,
}

/** The runtime's parser of a connection, which is not documented. */
interface Parser {
    [ParserCallback.MessageBegin]?: ((...args: unknown[]) => unknown) | null;
    [ParserCallback.Execute]?: ((...args: unknown[]) => unknown) | null;
    /** Headers that have been read, names and values alternating. */
    _headers?: readonly string[];
}

/** What is being read on a connection. */
interface Reading {
    isInHead: boolean;
    /** Bytes of the head, and of what was read with its beginning. */
    headBytes: number;
    /** Bytes that the connection has received. */
    receivedBytes: number;
}

/** Follows how much of each head has been read, with each read: the parser keeps it until its end. */
export class HeadWatch {
    private readonly readings = new Map<Socket, Reading>();

    private constructor(private readonly heads: UnfinishedHeads<Socket>, private readonly close: (socket: Socket) => void) {}

    /** Creates a watch; `close` closes a connection for whose head there is no room. */
    static create(heads: UnfinishedHeads<Socket>, close: (socket: Socket) => void): HeadWatch {
        return new HeadWatch(heads, close);
    }

    /** Follows a connection that a server has just accepted. */
    open(socket: Socket): void {
        const { parser } = socket as Socket & { readonly parser?: Parser; };
        if (!parser) {
            return;
        }
        const reading: Reading = { isInHead: false, headBytes: 0, receivedBytes: socket.bytesRead };
        this.readings.set(socket, reading);
        socket.once("close", () => {
            this.readings.delete(socket);
            this.heads.release(socket);
        });
        const { [ParserCallback.MessageBegin]: begin, [ParserCallback.Execute]: execute } = parser;
        parser[ParserCallback.MessageBegin] = (...args) => {
            reading.isInHead = true;
            return begin?.(...args);
        };
        parser[ParserCallback.Execute] = (...args) => {
            const result = execute?.(...args);
            this.onRead(socket, parser, reading);
            return result;
        };
    }

    /** A head has been read to its end. */
    end(socket: Socket): void {
        const reading = this.readings.get(socket);
        if (reading) {
            reading.isInHead = false;
            if (reading.headBytes > 0) {
                reading.headBytes = 0;
                this.heads.release(socket);
            }
        }
    }

    private onRead(socket: Socket, parser: Parser, reading: Reading): void {
        const { bytesRead } = socket;
        const bytes = bytesRead - reading.receivedBytes;
        reading.receivedBytes = bytesRead;
        if (reading.isInHead && !socket.destroyed) {
            reading.headBytes += bytes;
            this.heads.hold(socket, reading.headBytes, (parser._headers?.length ?? 0) / 2).forEach(this.close);
        }
    }
}
