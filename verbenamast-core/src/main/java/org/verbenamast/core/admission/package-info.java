/**
 * Admission control in front of a backend server, in the relay (logs call it the gate): the node beside the server
 * decides which requests are dispatched to it, and when.
 */
package org.verbenamast.core.admission;
