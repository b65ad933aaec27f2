import type { UpstreamServer } from "../types/upstreamServer";

/** What a log line says of an upstream. */
export const summaryOf = (server: UpstreamServer | undefined): string | undefined =>
    server && [server.service, server.state, server.bornAt, server.remainingMs, ...server.models.map(({ name }) => name)].join(" ");
