import type { Socket } from "node:net";
import type { AnswerHeads } from "./answerHeads";

/** Bytes that may arrive without a byte of an answer's head or body; what the runtime and the system read ahead counts, too. */
const maxFramingBytes = 262_144;

/** Watches a connection for an answer whose framing never ends, such as the extension of a chunk: the parser skips it without a limit. */
export class FramingWatch {
    private bytesAtProgress: number;

    private constructor(private readonly socket: Socket, private readonly heads: AnswerHeads, private readonly giveUp: (reason: string) => void) {
        this.bytesAtProgress = socket.bytesRead;
        heads.follow(socket, () => giveUp("no memory for the head"));
        // Called after the parser has taken what was read.
        socket.on("readable", this.check);
    }

    /** Starts to watch a connection that carries a request; `giveUp` may be called repeatedly. */
    static start(socket: Socket, heads: AnswerHeads, giveUp: (reason: string) => void): FramingWatch {
        return new FramingWatch(socket, heads, giveUp);
    }

    /** Records that the parser delivered a head or a part of a body. */
    onProgress(): void {
        this.bytesAtProgress = this.socket.bytesRead;
    }

    stop(): void {
        this.socket.off("readable", this.check);
        this.heads.release(this.socket);
    }

    private readonly check = (): void => {
        const bytes = this.socket.bytesRead - this.bytesAtProgress;
        if (bytes > maxFramingBytes) {
            this.giveUp("framing without end");
        }
        else {
            this.heads.onRead(this.socket, bytes);
        }
    };
}
