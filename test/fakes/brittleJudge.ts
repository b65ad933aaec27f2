/** Falls in one brittle time that break no rule: a number, and a share of the service's upstreams. */
const allowedFalls = 2;
const allowedFallShare = 0.1;

/** A time in which the upstreams of a service say that they are brittle, on the monotonic clock. */
export interface BrittleTime {
    readonly service: string;
    readonly from: number;
    readonly to: number;
    readonly upstreams: number;
}

/** An upstream that fell over. */
export interface BrittleFall {
    readonly service: string;
    readonly upstream: string;
    readonly at: number;
    /** IDs of the requests that it had turned away in the second before; empty for calls that carry no request. */
    readonly rejected: readonly string[];
}

/** Judges whether nodes made brittle upstreams fall over too often. A fall counts if most of what was rejected came from nodes in touch. */
export const judgeBrittleTime = (time: BrittleTime, falls: readonly BrittleFall[], isFromNodeInTouch: (requestId: string) => boolean): readonly string[] => {
    const counted = falls.filter(({ service, at, rejected }) =>
        service === time.service && at >= time.from && at < time.to && rejected.filter(isFromNodeInTouch).length > rejected.length / 2
    );
    const allowed = allowedFalls + allowedFallShare * time.upstreams;
    return counted.length > allowed
        ? [`${time.upstreams} brittle upstreams of ${time.service} fell over ${counted.length} times, ${allowed} are allowed: ${
            counted.map(({ upstream, at }) => `${upstream} after ${Math.round(at - time.from)} ms`).join(", ")
        }`]
        : [];
};
