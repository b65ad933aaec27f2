/** Durations measured for each request. */
export enum RequestMetric {
    FirstToken = "first-token",
    BetweenTokens = "between-tokens",
    Total = "whole",
}
