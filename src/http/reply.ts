/** Replies of request handlers and their encoding. */

/** The reply of a request handler, with a JSON body. */
export interface Reply {
  status: number;
  /** Sent as JSON; undefined and null are sent as `{}`. */
  body: unknown;
  /** Value of the `Retry-After` header, rounded up to whole seconds; no header when absent. */
  retryAfterS?: number;
}

const REASON_PHRASES: Record<number, string> = {
  200: 'OK',
  201: 'Created',
  400: 'Bad Request',
  404: 'Not Found',
  405: 'Method Not Allowed',
  411: 'Length Required',
  414: 'URI Too Long',
  421: 'Misdirected Request',
  422: 'Unprocessable Content',
  431: 'Request Header Fields Too Large',
  500: 'Internal Server Error',
  503: 'Service Unavailable',
  505: 'HTTP Version Not Supported',
};

/** Encodes a reply as an HTTP/1.1 response. When `keepAlive` is false, it has the header `Connection: close`. */
export function encodeReply(reply: Reply, keepAlive: boolean): string {
  const body = JSON.stringify(reply.body ?? {});
  let head = `HTTP/1.1 ${reply.status} ${REASON_PHRASES[reply.status] ?? 'Status'}\r\nContent-Type: application/json\r\nContent-Length: ${Buffer.byteLength(body)}\r\n`;
  if (reply.retryAfterS !== undefined) head += `Retry-After: ${Math.ceil(reply.retryAfterS)}\r\n`;
  if (!keepAlive) head += 'Connection: close\r\n';
  return `${head}\r\n${body}`;
}
