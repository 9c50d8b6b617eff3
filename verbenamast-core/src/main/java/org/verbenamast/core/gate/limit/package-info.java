/** Decides how many requests the backend server beside a node may run at once. */
package org.verbenamast.core.gate.limit;
