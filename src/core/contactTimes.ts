/** Time after which the probe of a held path counts as unanswered. */
export const checkTimeoutMs = 200;
/** Minimum time between an answered probe and the next conclusion from failures: crashes of many upstreams cost no more probes than this allows. */
export const minDoubtPauseMs = 700;
/** Time in which one of the probes must be answered, and after which the most of them are used. */
export const decisionMs = 500;
export const moreProbesAfterMs = 250;
/** Interval of probes while the path is lost. */
export const lostProbeIntervalMs = 300;
/** A request that must not be repeated is not sent on a kept connection while nothing has arrived for this long. */
export const maxTrustedSilenceMs = 200;
