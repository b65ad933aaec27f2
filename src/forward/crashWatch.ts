import type { CrashLog } from "../core/crashLog";
import { EventId } from "../types/eventId";
import type { UpstreamServer } from "../types/upstreamServer";
import { processKey, UpstreamState } from "../types/upstreamServer";
import { emit } from "../utils/events";
import type { UpstreamProber } from "./upstreamProber";

/** Requests that were lost with one runner. */
interface LostRequests {
    readonly at: number;
    readonly suspects: (readonly string[])[];
}

/** Whether an upstream other than the given one answers over a connection that was opened after a time on the monotonic clock. */
export type ConfirmPath = (server: UpstreamServer, since: number) => Promise<boolean>;

/** Finds out whether a runner whose connections ended has crashed, and records what it may have crashed on. */
export class CrashWatch {
    private readonly pending = new Map<string, LostRequests>();

    private constructor(
        private readonly log: CrashLog,
        private readonly prober: () => UpstreamProber | undefined,
        private readonly confirmPath: ConfirmPath,
    ) {}

    /** Creates a watch that records crashes in a log, if the node's path to the upstreams is not the reason for what it saw. */
    static create(log: CrashLog, prober: () => UpstreamProber | undefined, confirmPath: ConfirmPath): CrashWatch {
        return new CrashWatch(log, prober, confirmPath);
    }

    /** Records that the connection of a request ended before its runner had written much of an answer. */
    onLost(server: UpstreamServer, suspectParts: readonly string[]): void {
        const prober = this.prober();
        if (!prober || server.state !== UpstreamState.Ready) {
            return;
        }
        const id = processKey(server);
        const pending = this.pending.get(id);
        if (pending) {
            pending.suspects.push(suspectParts);
            return;
        }
        this.pending.set(id, { at: performance.now(), suspects: [suspectParts] });
        void this.hasCrashed(prober, server).then(hasCrashed => this.finish(id, server, hasCrashed));
    }

    /** A node that is cut off sees of all runners what a crash looks like: the runner must have ended while another upstream answers. */
    private async hasCrashed(prober: UpstreamProber, server: UpstreamServer): Promise<boolean> {
        const { at } = this.pending.get(processKey(server))!;
        return await prober.hasEnded(server) && await this.confirmPath(server, at) && prober.hasEnded(server);
    }

    private finish(id: string, server: UpstreamServer, hasCrashed: boolean): void {
        const { at, suspects } = this.pending.get(id)!;
        this.pending.delete(id);
        if (hasCrashed) {
            emit(EventId.RunnerCrashed, { runner: server.id, bornAt: server.bornAt, suspects: suspects.map(parts => parts.join(" ")) });
            this.log.add({ id, ageMs: performance.now() - at, suspects, cleared: [] });
        }
    }
}
