/** Chooses an owner for each slice of a service, from the present owners, weights and heats. */
package org.verbenamast.core.assign;
