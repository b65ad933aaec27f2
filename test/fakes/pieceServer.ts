import type { Server } from "node:http";
import { createServer } from "node:http";
import type { PiecePace } from "./smallPieces";
import { formNamed, sendPieces } from "./smallPieces";

/** What a server of small pieces answers. */
export interface PieceServerSetup {
    readonly form: string;
    readonly status: number;
    readonly pace?: PiecePace;
}

/** Starts a server that answers every request without end, in a form of `pieceForms` or `endlessForms`. */
export const startPieceServer = async (port: number, { form, status, pace }: PieceServerSetup): Promise<Server> => {
    const trouble = sendPieces(status, formNamed(form), pace);
    const server = createServer(({ socket }) => trouble(socket));
    server.on("connection", socket => socket.on("error", () => undefined));
    await new Promise<void>(resolve => server.listen(port, "127.0.0.1", () => resolve()));
    return server;
};
