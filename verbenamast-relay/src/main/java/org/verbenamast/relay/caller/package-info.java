/** The front for callers on this host. */
package org.verbenamast.relay.caller;
