import type { Server } from "node:http";
import type { Socket } from "node:net";
import type { MemoryBudget } from "../core/memoryBudget";
import { MemoryHolder } from "../types/memoryHolder";

/** Charge for a connection of a caller with what it holds of an incomplete head. */
const connectionBytes = 16_384;
/** Limit of the parser under a configuration: this multiple of the configured limit, and no less than this. */
const parserHeaderFactor = 2;
const minParserHeaderBytes = 16_384;

/** Connections of callers, idle ones among them, and what they cost. */
export class CallerConnections {
    /** Number of open connections. */
    openCount = 0;

    private constructor(private readonly server: Server, private readonly memory: MemoryBudget) {
        server.on("connection", (socket: Socket) => this.onOpened(socket));
    }

    /** Follows the connections of a server that does not listen yet. */
    static create(server: Server, memory: MemoryBudget): CallerConnections {
        return new CallerConnections(server, memory);
    }

    /** Bounds what a connection may hold of a head. Heads that are somewhat too large are still read and refused with a reason. */
    limitHeads(maxHeaderBytes: number): void {
        const server = this.server as Server & { maxHeaderSize?: number; };
        server.maxHeaderSize = Math.max(minParserHeaderBytes, parserHeaderFactor * maxHeaderBytes);
    }

    private onOpened(socket: Socket): void {
        this.openCount++;
        this.memory.charge(MemoryHolder.CallerConnections, connectionBytes);
        socket.once("close", () => {
            this.openCount--;
            this.memory.charge(MemoryHolder.CallerConnections, -connectionBytes);
        });
    }
}
