/** The state of the backend server beside this node, derived from its heartbeats. */
package org.verbenamast.core.backend;
