/** Headers that apply to a single connection (RFC 9110, section 7.6.1) or that the HTTP client sets itself. */
const hopByHopHeaders = new Set([
	'connection', 'keep-alive', 'proxy-authenticate', 'proxy-authorization', 'proxy-connection', 'te', 'trailer', 'transfer-encoding', 'upgrade', 'expect', 'host',
]);

/** Returns the headers that may be forwarded, with lower-case names. */
export function withoutHopByHopHeaders(headers: Readonly<Record<string, string>>): Record<string, string> {
	const entries = Object.entries(headers).map(([name, value]) => [name.toLowerCase(), value] as const);
	const connection = entries.find(([name]) => name === 'connection')?.[1] ?? '';
	const connectionTokens = new Set(connection.split(',').map(token => token.trim().toLowerCase()));
	return Object.fromEntries(entries.filter(([name]) => !hopByHopHeaders.has(name) && !connectionTokens.has(name)));
}
