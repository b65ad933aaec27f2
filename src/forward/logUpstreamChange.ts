import { EventId } from "../types/eventId";
import type { DirectoryChange, UpstreamServer } from "../types/upstreamServer";
import { emit } from "../utils/events";

/** What a log line says of an upstream. */
const summaryOf = (server: UpstreamServer | undefined): string | undefined =>
    server && [server.service, server.state, server.bornAt, server.remainingMs, ...server.models.map(({ name }) => name)].join(" ");

/** Logs a change of the directory. Rows also change with each adapter: such changes are not logged, as every node would log each. */
export const logUpstreamChange = ({ id, server, version }: DirectoryChange, previous: UpstreamServer | undefined): void => {
    if (summaryOf(server) !== summaryOf(previous)) {
        emit(EventId.UpstreamChanged, {
            upstream: id,
            rowVersion: version,
            service: (server ?? previous)?.service,
            state: server?.state ?? "gone",
            softwareVersion: (server ?? previous)?.softwareVersion,
            models: server?.models.map(({ name }) => name),
        });
    }
};
