/** The adaptive concurrency limit of the backend server beside a node. */
package org.verbenamast.core.gate.limit;
