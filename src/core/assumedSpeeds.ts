import type { ServiceSpeeds } from "../types/serviceSpeeds";

/** Prompt tokens that a runner prefills in a millisecond, assumed while its own speed is not known. */
const prefillTokensPerMs = 38;

/** Speeds that hold until enough has been learned. */
export const assumedSpeeds: ServiceSpeeds = { prefillMsPerToken: 1 / prefillTokensPerMs, stepMs: 5.5, stepMsPerRequest: 0.05, plainMs: 60 };
