/** Failed connections to this many processes, without a new one that worked in between, raise a doubt. */
export const minFailedProcesses = 2;
/** Probes at the beginning of a doubt, and the most in all. */
export const firstProbes = 3;
export const maxDoubtProbes = 6;
/** Upstreams that are probed at a time while the path is lost. */
export const lostProbes = 2;
