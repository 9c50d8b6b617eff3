/**
 * The way into the backend server: who may run, who waits and who is refused. Charts {@code serve} and {@code
 * server}.
 */
package org.verbenamast.core.gate;
