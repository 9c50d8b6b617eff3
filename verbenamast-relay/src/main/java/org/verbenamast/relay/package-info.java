/** The relay process, which runs beside a backend server on the users' platform. */
package org.verbenamast.relay;
