import type { LabelledMetricSpec } from "../plugins/metrics";
import type { Gateway } from "./gateway";

/** What customers used, as this node's requests and, at their home node, their buckets show it. */
export const usageMetrics = ({ usage }: Gateway, levels: () => ReadonlyMap<string, number>): readonly LabelledMetricSpec[] => [
    {
        name: "usage_admitted_units_total",
        help: "Units of requests that were admitted, by customer",
        label: "customer",
        read: () => usage.admitted,
        isCounter: true,
    },
    {
        name: "usage_refused_units_total",
        help: "Units of requests that were refused, by customer",
        label: "customer",
        read: () => usage.refused,
        isCounter: true,
    },
    {
        name: "usage_returned_units_total",
        help: "Units of admitted requests that did not run, by customer",
        label: "customer",
        read: () => usage.returned,
        isCounter: true,
    },
    { name: "usage_calls_total", help: "Calls to home nodes and deputies, by result", label: "result", read: () => usage.calls, isCounter: true },
    { name: "usage_level_units", help: "Units that a customer may use now, at its home node", label: "customer", read: levels, isCounter: false },
];
