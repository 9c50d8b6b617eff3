/** Links between nodes: the requests sent for execution beside another node, and notifications. */
package org.verbenamast.relay.peer;
