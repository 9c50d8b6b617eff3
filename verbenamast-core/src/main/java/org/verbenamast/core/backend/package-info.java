/** The backend server beside this node, as its heartbeats tell. */
package org.verbenamast.core.backend;
