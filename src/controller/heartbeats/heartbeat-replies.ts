/** Replies to heartbeats that any node may give. */
import type { Reply } from '../../http/server.js';
import { redirectBody } from '../../protocol/agent-protocol.js';

/** 421: the agent goes to the named leader or, when none is known, to another node. */
export function redirectTo(leader: string | null): Reply {
  return { status: 421, body: redirectBody(leader) };
}
