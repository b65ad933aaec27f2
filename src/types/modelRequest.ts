/** A part of a prompt that requests may share. */
export interface PromptPart {
    readonly id: string;
    readonly tokens: number;
}

/** What a generation needs of a runner. */
export interface ModelRequest {
    readonly model: string;
    readonly adapter?: string;
    readonly promptTokens: number;
    readonly maxOutputTokens: number;
    /** In the order of the prompt; a part is kept only together with those before it. */
    readonly parts: readonly PromptPart[];
}

/** Model, and adapter where there is one, as one name. */
export const artifactKey = (model: string, adapter: string | undefined): string => adapter === undefined ? model : `${model}/${adapter}`;

/** The model of an artifact's name. */
export const modelOfArtifactKey = (artifact: string): string => artifact.split("/", 1)[0]!;
