import { randomUUID } from "node:crypto";
import { syncConfigStore } from "../core/configFeed";
import { changePrefix } from "../core/configKeys";
import type { Operation } from "../core/configWriter";
import { commitEdits } from "../core/configWriter";
import { zoneOrigin } from "../core/digestStore";
import { raise } from "../core/failures";
import type { RawRecord } from "../core/recordSchemas";
import type { NodeContext } from "../node/context";
import type { ConfigChange, RecordEdit } from "../types/config";
import { RecordKind } from "../types/config";
import { EventId } from "../types/eventId";
import { FailureKind } from "../types/failureKind";
import type { HttpExchange, HttpRoute } from "../types/httpExchange";
import type { NodeState, ZoneState } from "../types/nodeDigest";
import { DigestName } from "../types/nodeDigest";
import { emit } from "../utils/events";
import { sendJson } from "../utils/problems";
import { sleep } from "../utils/time";
import { bearerTokenOf, parseJsonObject, readWholeBody } from "./callerRequest";
import { createExplainer } from "./explainer";
import { isSameSecret } from "./standalonePeerRouter";

const recordsPath = "/admin/records";
const maxApplyWaitMs = 60_000;
const applyPollMs = 100;
const historyPageSize = 500;

const parseKind = (text: string | undefined): RecordKind =>
    Object.values(RecordKind).find(kind => kind === text) ??
        raise(FailureKind.BadRequest, `kind ${text ?? ""} is not one of ${Object.values(RecordKind).join(", ")}`);

const parseEdit = (value: unknown, index: number): RecordEdit => {
    const edit = value as { record?: RawRecord; base?: unknown; kind?: string; name?: string; withdraw?: boolean; };
    if (typeof edit !== "object" || !edit || (edit.base !== undefined && !Number.isInteger(edit.base))) {
        return raise(FailureKind.BadRecord, `records.${index}: must be an object with a record and an integer base`);
    }
    const base = edit.base as number | undefined;
    if (edit.withdraw) {
        return { kind: parseKind(edit.kind), name: edit.name ?? "", base };
    }
    const record = edit.record ?? raise(FailureKind.BadRecord, `records.${index}.record: missing`);
    return { kind: record.kind as RecordKind, name: String(record.name), base, record };
};

/** Waits until every live node reports that it has applied the sequence; returns the origins of the nodes and zones that have not. */
const waitUntilApplied = async (node: NodeContext, sequence: number, waitMs: number): Promise<readonly string[]> => {
    const deadlineAt = performance.now() + Math.min(waitMs, maxApplyWaitMs);
    for (;;) {
        const nodes = node.digests.values<NodeState>(DigestName.Node).filter(({ value }) => value.configSequence < sequence && !value.stopping);
        const zones = node.digests.values<ZoneState>(DigestName.Zone).filter(({ origin, value }) =>
            value.configSequence < sequence && origin !== zoneOrigin(node.cfg.availabilityZone)
        );
        const behind = [...nodes, ...zones].map(({ origin }) => origin);
        if (behind.length === 0 || performance.now() >= deadlineAt) {
            return behind;
        }
        await sleep(applyPollMs);
    }
};

const sendCommitResult = async (node: NodeContext, exchange: HttpExchange, operation: Operation): Promise<void> => {
    emit(EventId.RecordsCommitted, { operation: operation.operationId, sequence: operation.sequence });
    await syncConfigStore(node.table, node.config).catch(() => 0);
    const waitMs = Number(exchange.url.searchParams.get("waitMs") ?? 0);
    const behind = waitMs > 0 ? await waitUntilApplied(node, operation.sequence, waitMs) : undefined;
    sendJson(exchange, 200, { ...operation, behind });
};

const operationIdOf = ({ req }: HttpExchange): string => {
    const header = req.headers["idempotency-key"];
    return (Array.isArray(header) ? header[0] : header) ?? randomUUID();
};

const handleList = (node: NodeContext, exchange: HttpExchange): void => {
    const kind = exchange.url.searchParams.get("kind") ?? undefined;
    const kinds = kind === undefined ? Object.values(RecordKind) : [parseKind(kind)];
    const { sequence, records } = node.config.snapshot();
    sendJson(exchange, 200, {
        sequence,
        records: records.filter(change => kinds.includes(change.kind)).map(({ kind: recordKind, name, sequence: revision, record }) => ({
            kind: recordKind,
            name,
            revision,
            record,
        })),
    });
};

const handleCollection = (node: NodeContext) => async (exchange: HttpExchange): Promise<void> => {
    if (exchange.req.method === "GET") {
        handleList(node, exchange);
        return;
    }
    const body = parseJsonObject(await readWholeBody(node, exchange));
    const edits = Array.isArray(body.records) ? body.records.map(parseEdit) : raise(FailureKind.BadRecord, "records: must be a list");
    await sendCommitResult(node, exchange, await commitEdits(node.table, edits, operationIdOf(exchange)));
};

const readHistory = async (node: NodeContext, kind: RecordKind, name: string): Promise<readonly ConfigChange[]> => {
    const changes: ConfigChange[] = [];
    let after: string | undefined;
    for (;;) {
        const rows = await node.table.list(changePrefix, after, historyPageSize);
        changes.push(...rows.map(row => row.value as ConfigChange).filter(change => change.kind === kind && change.name === name));
        after = rows.at(-1)?.key;
        if (rows.length < historyPageSize) {
            return changes;
        }
    }
};

const baseOf = ({ url }: HttpExchange): number | undefined => {
    const text = url.searchParams.get("base");
    return text ? Number(text) : undefined;
};

const handleRecord = (node: NodeContext) => async (exchange: HttpExchange): Promise<void> => {
    const [kindText, nameText, view] = exchange.url.pathname.slice(recordsPath.length + 1).split("/");
    const kind = parseKind(kindText);
    const name = decodeURIComponent(nameText ?? "");
    const handlers: Readonly<Record<string, () => Promise<void>>> = {
        GET: async () => {
            if (view === "history") {
                sendJson(exchange, 200, { changes: await readHistory(node, kind, name) });
                return;
            }
            const stored = node.config.find({ kind, name }) ?? raise(FailureKind.UnknownRecord, `${kind}/${name}`);
            sendJson(exchange, 200, { kind, name, revision: stored.revision, record: stored.raw });
        },
        PUT: async () => {
            const record = parseJsonObject(await readWholeBody(node, exchange));
            const edit: RecordEdit = { kind, name, base: baseOf(exchange), record: { kind, name, ...record } };
            await sendCommitResult(node, exchange, await commitEdits(node.table, [edit], operationIdOf(exchange)));
        },
        DELETE: async () => sendCommitResult(node, exchange, await commitEdits(node.table, [{ kind, name, base: baseOf(exchange) }], operationIdOf(exchange))),
    };
    await handlers[exchange.req.method!]!();
};

/** Creates the operators' HTTP routes. */
export const createAdminRoutes = (node: NodeContext): readonly HttpRoute[] => {
    const requireOperatorToken = (route: HttpRoute): HttpRoute => ({
        ...route,
        handle: exchange =>
            isSameSecret(bearerTokenOf(exchange), node.cfg.operatorToken)
                ? route.handle(exchange)
                : raise(FailureKind.WrongKey, "the bearer token is not the operators' token"),
    });
    const explainer = createExplainer(node);
    const routes: readonly HttpRoute[] = [
        { path: recordsPath, methods: ["GET", "POST"], handle: handleCollection(node) },
        { path: `${recordsPath}/`, methods: ["GET", "PUT", "DELETE"], handle: handleRecord(node) },
        { path: "/admin/status", methods: ["GET"], handle: exchange => sendJson(exchange, 200, explainer.status()) },
        {
            path: "/admin/explain/",
            methods: ["GET"],
            handle: exchange => sendJson(exchange, 200, explainer.explain(exchange.url.pathname.split("/").slice(3).map(decodeURIComponent))),
        },
    ];
    return routes.map(requireOperatorToken);
};
