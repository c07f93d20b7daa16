/** Whether a response says where it ends. Otherwise it ends with its connection. */
export function isFramed(headers: Readonly<Record<string, string | string[] | undefined>>): boolean {
	return headers['content-length'] !== undefined || /\bchunked\b/iv.test(String(headers['transfer-encoding'] ?? ''));
}
