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

/** Finds out whether a runner whose connections ended has crashed, and records what it may have crashed on. */
export class CrashWatch {
    private readonly pending = new Map<string, LostRequests>();

    private constructor(private readonly log: CrashLog, private readonly prober: () => UpstreamProber | undefined) {}

    /** Creates a watch that records crashes in a log. */
    static create(log: CrashLog, prober: () => UpstreamProber | undefined): CrashWatch {
        return new CrashWatch(log, prober);
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
        void prober.hasEnded(server).then(hasEnded => this.finish(id, server, hasEnded));
    }

    private finish(id: string, server: UpstreamServer, hasEnded: boolean): void {
        const { at, suspects } = this.pending.get(id)!;
        this.pending.delete(id);
        if (hasEnded) {
            emit(EventId.RunnerCrashed, { runner: server.id, bornAt: server.bornAt, suspects: suspects.map(parts => parts.join(" ")) });
            this.log.add({ id, ageMs: performance.now() - at, suspects, cleared: [] });
        }
    }
}
