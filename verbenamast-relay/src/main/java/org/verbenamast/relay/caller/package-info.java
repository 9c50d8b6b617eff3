/** The HTTP endpoint for callers on this host, and the attempts that it makes at other nodes on their behalf. */
package org.verbenamast.relay.caller;
