import type { UpstreamServer } from "../types/upstreamServer";
import { processKey, UpstreamState } from "../types/upstreamServer";
import type { Random } from "../utils/random";

/** What is known of the upstreams that may be probed. */
export interface ProbeHistory {
    /** Processes that were probed already. */
    readonly asked: ReadonlySet<string>;
    /** Processes with a failed connection. */
    readonly failed: ReadonlySet<string>;
    /** The process that sent something last. */
    readonly lastSpeaker: string | undefined;
    /** Whether a process has named a limit on requests: others are probed while there are any. */
    readonly isLimited: (process: string) => boolean;
    /** Whether the process that was started last is asked first: of those that were all down, it is the most likely to be up. */
    readonly prefersNewest: boolean;
}

/** Weights of the reasons to probe another upstream instead; each outweighs all that follow. */
const askedWeight = 32;
const failedWeight = 16;
const limitedWeight = 8;
const sameServiceWeight = 2;
const sameZoneWeight = 1;
const drainingWeight = 4;

/** Chooses upstreams to probe: the one that spoke last first, then random ones of other services and zones. */
export const chooseProbeTargets = (
    servers: readonly UpstreamServer[],
    count: number,
    { asked, failed, lastSpeaker, isLimited, prefersNewest }: ProbeHistory,
    random: Random,
): readonly UpstreamServer[] => {
    const chosen: UpstreamServer[] = [];
    const births = prefersNewest ? servers.filter(server => !asked.has(processKey(server))).map(({ bornAt }) => bornAt) : [];
    const newestBirth = births.reduce((latest, bornAt) => Math.max(latest, bornAt), Number.NEGATIVE_INFINITY);
    const ranked = servers.map(server => {
        const key = processKey(server);
        const isLastSpeaker = key === lastSpeaker && !asked.has(key) && !failed.has(key) && !isLimited(key);
        const weight = askedWeight * Number(asked.has(key)) + failedWeight * Number(failed.has(key)) +
            limitedWeight * Number(isLimited(key)) + drainingWeight * Number(server.state === UpstreamState.Draining);
        const isNewest = server.bornAt === newestBirth && !asked.has(key);
        return { server, weight: isLastSpeaker || isNewest ? random() - 1 : weight + random() };
    });
    while (chosen.length < count && chosen.length < servers.length) {
        const cost = ({ server, weight }: typeof ranked[number]): number =>
            weight + sameServiceWeight * Number(chosen.some(({ service }) => service === server.service)) +
            sameZoneWeight * Number(chosen.some(({ availabilityZone }) => availabilityZone === server.availabilityZone));
        const best = ranked.filter(({ server }) => !chosen.includes(server)).reduce((left, right) => cost(right) < cost(left) ? right : left);
        chosen.push(best.server);
    }
    return chosen;
};
