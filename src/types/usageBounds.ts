/** The rule on usage: in any window, at most (rate x window + burst) x (1 + overrun) + slack units of a customer reach upstreams. */
export interface UsageBounds {
    readonly windowMs: number;
    readonly overrun: number;
    readonly slack: number;
}
