/** Rows and frames of the nodes that relay requests, to and from the types of the decisions. */
package org.verbenamast.wire.relay;
