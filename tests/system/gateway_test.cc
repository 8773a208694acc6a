#include "system/gateway_process.h"

/* Callers' requests through a real process, to endpoints of the test. */

/*
 * Guards against requests of callers that are taken for calls of mulberrypath's
 * own because they have the same path: run by the endpoint, and never answered.
 */
TEST_F(GatewayProcess, paths_of_its_own_calls_are_the_callers_on_the_front)
{
	static const char *const paths[] = {"/metrics", "/metrics?x=1",
	    "/healthz", "/readyz", "/health", "/v1/addresses?team=t",
	    "/v1/status", "/v1/endpoints/announce", "/v1/chat/completions",
	    "/v1/services/app/x", "/api/readiness",
	    "/api/resolution?name=x&region=r&zone=z", "/api/configuration",
	    "/api/instances/e0", "/api/version-put", "/api/order",
	    "/api/report", "/api/kv-events?since=0", "/"};

	start_serving([](int fd, const std::string &head) {
		return write_all(fd, sound_response(head, "of the endpoint"));
	});
	for (const char *method : {"GET", "POST", "PUT", "DELETE"})
		for (const char *path : paths) {
			std::string line = std::string(method) + " " + path;
			std::string answer = call(line);

			EXPECT_EQ(answer.find("HTTP/1.1 200"), 0u) << line;
			EXPECT_NE(answer.find("\r\n\r\nof the endpoint"),
			    std::string::npos)
			    << line << ": " << answer;
			EXPECT_EQ(endpoints[0]->request_lines().back(), line);
		}
	/* Its own metrics are those of the node and of the process. */
	EXPECT_GT(metric("messages_in_total") + metric("log_applied"), 0);
	EXPECT_GT(metric("process_resident_bytes"), 0);
	EXPECT_EQ(metric("replies_undelivered_total"), 0);
}
