import type { ServingConfig } from "../types/servingConfig";

/** A stream may be taken up for this multiple of the longest timeout of its routes: a caller's own deadline may be later. */
const streamLifetimeFactor = 2;
const minStreamLifetimeMs = 20_000;

/** Time for which callers may take a stream up. */
export const streamLifetimeMsOf = (cfg: ServingConfig | undefined): number => {
    const timeouts = cfg?.routes.filter(({ isResumable }) => isResumable).map(({ timeoutMs }) => timeoutMs) ?? [];
    return Math.max(minStreamLifetimeMs, streamLifetimeFactor * Math.max(0, ...timeouts));
};
