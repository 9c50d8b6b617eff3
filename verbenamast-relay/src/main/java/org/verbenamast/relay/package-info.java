/** The process beside a backend server on the users' platform. */
package org.verbenamast.relay;
