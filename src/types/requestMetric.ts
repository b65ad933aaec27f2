/** Times that are measured of each request. */
export enum RequestMetric {
    FirstToken = "first-token",
    BetweenTokens = "between-tokens",
    Total = "whole",
}
