/** The client of the backend server beside the node. */
package org.verbenamast.node.server;
