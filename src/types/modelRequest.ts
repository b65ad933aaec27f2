/** A part of a prompt that several requests may share. */
export interface PromptPart {
    readonly id: string;
    readonly tokens: number;
}

/** Model, adapter and size of a generation. */
export interface ModelRequest {
    readonly model: string;
    readonly adapter?: string;
    readonly promptTokens: number;
    readonly maxOutputTokens: number;
    /** In the order of the prompt; a part can be cached only together with those before it. */
    readonly parts: readonly PromptPart[];
}

/** Key of a model, or of one of its adapters as `model/adapter`. */
export const artifactKey = (model: string, adapter: string | undefined): string => adapter === undefined ? model : `${model}/${adapter}`;

/** The model of an artifact key. */
export const modelOfArtifactKey = (artifact: string): string => artifact.split("/", 1)[0]!;

/** IDs of the prompt's parts that other requests may contain as well; the last part belongs to the request or its session. */
export const sharedPartIds = ({ parts }: ModelRequest): readonly string[] => parts.slice(0, -1).map(({ id }) => id);
