/** Exchanges with other nodes. */
package org.verbenamast.relay.peer;
