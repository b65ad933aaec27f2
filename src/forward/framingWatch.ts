import type { Socket } from "node:net";

/** Bytes that may arrive without a byte of an answer's head or body; what the runtime and the system read ahead counts, too. */
const maxFramingBytes = 262_144;

/** Watches a connection for an answer whose framing never ends, such as the extension of a chunk: the parser skips it without a limit. */
export class FramingWatch {
    private bytesAtProgress: number;

    private constructor(private readonly socket: Socket, private readonly onEndless: () => void) {
        this.bytesAtProgress = socket.bytesRead;
        // Called after the parser has taken what was read.
        socket.on("readable", this.check);
    }

    /** Starts to watch a connection that carries a request; `onEndless` may be called repeatedly. */
    static start(socket: Socket, onEndless: () => void): FramingWatch {
        return new FramingWatch(socket, onEndless);
    }

    /** Records that the parser delivered a head or a part of a body. */
    onProgress(): void {
        this.bytesAtProgress = this.socket.bytesRead;
    }

    stop(): void {
        this.socket.off("readable", this.check);
    }

    private readonly check = (): void => {
        if (this.socket.bytesRead - this.bytesAtProgress > maxFramingBytes) {
            this.onEndless();
        }
    };
}
