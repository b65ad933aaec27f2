import type { HeaderMap } from "../types/requestHeaderCodec";
import { IgnoredHeader } from "../types/upstreamWord";
import type { UpstreamWord } from "../types/upstreamWord";

const misdirectedStatus = 421;
const unavailableStatus = 503;
const msPerSecond = 1_000;
/** Decimal seconds; a date, a sign or an exponent is not allowed. */
const secondsPattern = /^(?:\d+(?:\.\d*)?|\.\d+)$/;

const wholePattern = /^\d+$/;
/** A larger number of rejections is not credible. */
const maxBrittleValue = 1_000_000;

const decodeBrittle = (text: string): number | undefined => wholePattern.test(text) && Number(text) <= maxBrittleValue ? Number(text) : undefined;

const valuesOf = (headers: HeaderMap, name: string): readonly string[] => {
    const value = headers[name];
    return value === undefined ? [] : typeof value === "string" ? [value] : value;
};

/** Decodes what an answer says of the availability of its upstream. Invalid headers are ignored, with the reason. */
export const decodeUpstreamWord = (status: number, headers: HeaderMap): UpstreamWord => {
    const ignoredHeaders: IgnoredHeader[] = [];
    const decodeOnce = <T>(name: string, repeated: IgnoredHeader, invalid: IgnoredHeader, decode: (text: string) => T | undefined): T | undefined => {
        const [text, ...others] = valuesOf(headers, name);
        if (text === undefined) {
            return undefined;
        }
        const value = others.length === 0 ? decode(text.trim()) : undefined;
        if (value === undefined) {
            ignoredHeaders.push(others.length === 0 ? invalid : repeated);
        }
        return value;
    };
    const isLeaving = decodeOnce("server-leaving", IgnoredHeader.LeavingRepeated, IgnoredHeader.LeavingValue, text => text === "1" || undefined) ?? false;
    const quietMs = status === unavailableStatus
        ? decodeOnce(
            "retry-after",
            IgnoredHeader.QuietRepeated,
            IgnoredHeader.QuietValue,
            text => secondsPattern.test(text) ? Number(text) * msPerSecond : undefined,
        )
        : undefined;
    const maxRejectionsPerS = decodeOnce("server-brittle", IgnoredHeader.BrittleRepeated, IgnoredHeader.BrittleValue, decodeBrittle);
    const instanceId = valuesOf(headers, "instance-id")[0];
    return { isLeaving, quietMs, maxRejectionsPerS, instanceId, isMisdirected: status === misdirectedStatus, ignoredHeaders };
};
