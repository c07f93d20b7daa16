/** Can't occur in a name or a value. */
const separator = '\0';

/** Header fields as one text. Short names and values take up to ten times as much memory as strings of their own. */
export class PackedHeaders {
	/** @param rawHeaders names and values, which alternate */
	static create(rawHeaders: readonly string[]): PackedHeaders {
		return new PackedHeaders(rawHeaders.length, rawHeaders.join(separator));
	}

	private constructor(private readonly count: number, private readonly text: string) {}

	unpack(): string[] {
		return this.count === 0 ? [] : this.text.split(separator);
	}
}
